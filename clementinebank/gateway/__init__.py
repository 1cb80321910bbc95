"""An instance that forwards requests by routes from a control store."""

from clementinebank.gateway._feed import (
    HISTORY_LOST,
    Change,
    ChangeBatch,
    ConfigurationWritten,
    ControlFeed,
    LeafRemoved,
    LeafWritten,
    StoredState,
)
from clementinebank.gateway._follower import ControlFollower
from clementinebank.gateway._gateway import Gateway
from clementinebank.gateway._main import run_gateway
from clementinebank.gateway._request_log import RequestLog
from clementinebank.gateway._settings import (
    GatewayBounds,
    GatewaySettings,
    load_gateway_settings,
)

__all__ = (
    'HISTORY_LOST',
    'Change',
    'ChangeBatch',
    'ConfigurationWritten',
    'ControlFeed',
    'ControlFollower',
    'Gateway',
    'GatewayBounds',
    'GatewaySettings',
    'LeafRemoved',
    'LeafWritten',
    'RequestLog',
    'StoredState',
    'load_gateway_settings',
    'run_gateway',
)
