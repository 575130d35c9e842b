"""The exception that carries a numbered result code."""

from .results import ResultCode


class WagtailforkError(Exception):
    """Report a failure with its result code and a detail text.

    >>> str(WagtailforkError(ResultCode.key_malformed, 'abc'))
    'code=2009 result=key_malformed detail="abc"'
    """

    def __init__(self, code: ResultCode, detail: str) -> None:
        """Store the code and the detail."""
        super().__init__(code, detail)
        self.code = code
        self.detail = detail

    def __str__(self) -> str:
        """Return one line of key=value pairs."""
        name = self.code.name
        return f'code={self.code.value} result={name} detail="{self.detail}"'
