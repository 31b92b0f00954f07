"""What a name is, for members, relays and gateways alike. Gateways need it, so it imports no library."""

import re

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9_.:/-]*"
MAX_NAME_LENGTH = 100  # characters


def is_name(text):
    """Returns whether a value is a name."""
    return type(text) is str and len(text) <= MAX_NAME_LENGTH and re.fullmatch(NAME_PATTERN, text) is not None
