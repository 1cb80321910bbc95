"""News about leafs that leave, from each instance to all others."""

from clementinebank.departures._announcer import TELL_PATH, DepartureAnnouncer
from clementinebank.departures._messages import decode_news, encode_news

__all__ = ('TELL_PATH', 'DepartureAnnouncer', 'decode_news', 'encode_news')
