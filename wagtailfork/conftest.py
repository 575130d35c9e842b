"""Settings of the test runner."""

# Its plugin would import it after the tests, among the finalizers of their
# event loops, where CPython 3.11 may fail to compile a module.
import hypothesis  # noqa: F401
