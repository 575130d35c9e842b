"""Block the signal to reload before a gateway imports its modules."""

# ``signal`` would import more modules before the signal is blocked.
import _signal  # type: ignore[import-not-found]  # noqa: WPS436
import importlib
import sys


def main() -> None:
    """Run the command line."""
    if sys.argv[1:2] == ['gateway']:
        # Unhandled, it would end the process while modules are imported.
        _signal.pthread_sigmask(_signal.SIG_BLOCK, {_signal.SIGHUP})
    importlib.import_module('.cli.main', __package__).main()
