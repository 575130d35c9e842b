"""Check that docs/RESULT-CODES.md matches the code."""

import pathlib
import re

import testtools

from ..results import ResultCode, result_class

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'RESULT-CODES.md'
ROW = re.compile(r'^\| (\d{4}) \| (\w+) \| ([\w-]+) \|', re.MULTILINE)


class ResultCodesTest(testtools.TestCase):
    """Compare the page's table with the enumeration."""

    def test_page_lists_every_code(self) -> None:
        """Require that the page lists exactly the codes with their classes."""
        listed = {
            (int(number), name, kind)
            for number, name, kind in ROW.findall(PAGE.read_text())
        }
        expected = {
            (code.value, code.name, result_class(code)) for code in ResultCode
        }
        self.assertEqual(expected, listed)
