"""Run the command line as ``python -m wagtailfork``."""

from .cli.main import main

if __name__ == '__main__':
    main()
