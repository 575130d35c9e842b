"""Run the command line as ``python -m wagtailfork``."""

from .start import main

if __name__ == '__main__':
    main()
