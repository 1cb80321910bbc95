"""Client accounts: who may send requests, and with which rights."""

from clementinebank.accounts._model import ClientAccount
from clementinebank.accounts._table import AccountTable, common_regions

__all__ = ('AccountTable', 'ClientAccount', 'common_regions')
