"""The play of each kind of answer."""

from collections.abc import Mapping
from typing import Final

from . import endless, refusals, runs
from .answers import SERVE
from .reply import STATED, Play

PLAYS: Final[Mapping[str, Play]] = {
    SERVE: runs.serve,
    'refuse': refusals.refuse_with('503 Full'),
    'refuse_429': refusals.refuse_with('429 Too Many Requests'),
    'refuse_twice': refusals.refuse_twice,
    'refuse_again_late': refusals.refuse_again(named=True),
    'refuse_unnamed_copy': refusals.refuse_again(named=False),
    'refuse_cut': refusals.refuse_cut,
    'refuse_in_pieces': refusals.refuse_in_pieces,
    'misdirect': refusals.misdirect,
    'fail': runs.run_and_say('500 Internal Server Error'),
    'lose': runs.lose,
    'cut': runs.cut_body,
    'late': runs.serve_late,
    'twice': runs.serve_twice,
    'again_late': runs.serve_again,
    'garbage': runs.send_garbage,
    'silent': runs.stay_silent,
    'stop_in_head': runs.cut_head,
    'unsized': runs.serve_unsized,
    'bare_503': runs.run_and_say('503 Service Unavailable'),
    'bare_429': runs.run_and_say('429 Too Many Requests'),
    'bare_408': runs.run_and_say('408 Request Timeout'),
    'ran_500_stated': runs.run_and_say('500 Internal Server Error', STATED),
    'ran_504_stated': runs.run_and_say('504 Gateway Timeout', STATED),
    'ran_503_denied': runs.run_and_say('503 Full', 'Not-Executed: 0\r\n'),
    'endless_head': endless.endless_head,
    'endless_headers': endless.endless_headers,
    'endless_interim': endless.endless_interim,
    'endless_lines': endless.endless_lines,
    'endless_garbage': endless.endless_garbage,
    'endless_body': endless.endless_body,
    'endless_chunks': endless.endless_chunks,
    'endless_failure': endless.endless_failure,
    'ran_with_trailer': runs.serve_with_trailer,
}
