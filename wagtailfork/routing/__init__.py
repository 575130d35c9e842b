"""Select the backend server for a request and the time to send it.

The names below are imported on first access: a gateway uses modules of this
package but none of these names.
"""

import importlib
from typing import Any, Final

__all__ = ('Admission', 'SlotRequest', 'Endpoint', 'Pool')

_MODULES: Final = {
    'Admission': '.admission',
    'SlotRequest': '.admission',
    'Endpoint': '.endpoint',
    'Pool': '.pool',
}


def __getattr__(name: str) -> Any:  # noqa: WPS413
    """Import one public name."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(importlib.import_module(module, __name__), name)
