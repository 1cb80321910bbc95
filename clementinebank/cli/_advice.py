"""Advice on the next step after a failure, by error code."""

REPEAT_ADVICE = (
    'repeat the same command with the --change-id shown above; it is applied '
    'at most once'
)
SHOW_AGAIN_ADVICE = (
    'run `clementinebank document show --output NEW_FILE`, repeat your edits '
    'there and apply that file'
)
DEFAULT_ADVICE = 'see `clementinebank status` and the log of the instance'
ADVICE_BY_CODE = {
    'invalid_address': 'give an address as IP:PORT',
    'invalid_argument': 'correct the command line, see --help',
    'instance_unreachable': (
        'give the operators listener of another instance with --operators'
    ),
    'invalid_reply': 'check that the address is an operators listener',
    'invalid_request': 'use the tool and the instance of the same version',
    'invalid_document': 'correct the lines named above and apply again',
    'section_conflict': SHOW_AGAIN_ADVICE,
    'base_ahead_of_head': SHOW_AGAIN_ADVICE,
    'change_id_reused': 'apply without --change-id to get a new id',
    'head_restored': (
        'wait some seconds until the instances have written the lost '
        'revisions back, then apply again with the same --change-id'
    ),
    'head_invalid': (
        'the value in the key-value service was written by another tool; '
        'the last valid document stays in effect; restore the value first'
    ),
    'head_moving': f'other changes came first; {REPEAT_ADVICE}',
    'history_trimmed': (
        'run `clementinebank document show` to see whether the change is in '
        f'effect; if it is not, {SHOW_AGAIN_ADVICE}'
    ),
    'time_limit': REPEAT_ADVICE,
    'key_value_timeout': REPEAT_ADVICE,
    'key_value_unreachable': REPEAT_ADVICE,
    'key_value_refused': REPEAT_ADVICE,
    'outcome_unknown': REPEAT_ADVICE,
    'not_confirmed': (
        'run `clementinebank status` with the addresses named above; the '
        'change stays accepted'
    ),
}


def advice_for(code: str) -> str:
    """Return the next step that is printed after a failure with this code."""
    return ADVICE_BY_CODE.get(code, DEFAULT_ADVICE)
