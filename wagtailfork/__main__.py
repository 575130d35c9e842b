"""Run the command line as ``python -m wagtailfork``."""

import signal
import sys

if __name__ == '__main__' and sys.argv[1:2] == ['gateway']:
    # Unhandled, it would end the process while the modules below are imported.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from .cli.main import main  # noqa: E402

if __name__ == '__main__':
    main()
