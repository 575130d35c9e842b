"""Usage of the ``soak`` command."""

import testtools
from click.testing import CliRunner

from ..main import main

WRONG_USAGE = 2


class TestUsage(testtools.TestCase):
    """Names that the command does not know are errors, not ignored."""

    def test_unknown_names_are_rejected(self) -> None:
        """The error names the option and the offending value."""
        for option in ('--answers', '--disruptions'):
            outcome = CliRunner().invoke(main, ['soak', option, 'nope'])
            self.assertEqual(WRONG_USAGE, outcome.exit_code)
            self.assertIn(option, outcome.output)
            self.assertIn("'nope'", outcome.output)

    def test_disruptions_of_links_need_links(self) -> None:
        """Without figures of links there is nothing to disrupt."""
        outcome = CliRunner().invoke(
            main, ['soak', '--disruptions', 'reset_link']
        )
        self.assertEqual(WRONG_USAGE, outcome.exit_code)
        self.assertIn("'reset_link'", outcome.output)
