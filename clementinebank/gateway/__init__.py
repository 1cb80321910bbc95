"""An instance that forwards HTTP requests to leafs.

The routes and the registered leafs come from a control store.
"""

from clementinebank.gateway._changes import (
    Change,
    ConfigurationWritten,
    DecodeEntry,
    EvacuationBegun,
    EvacuationEnded,
    LeafRemoved,
    LeafWritten,
)
from clementinebank.gateway._gateway import Gateway
from clementinebank.gateway._main import run_gateway
from clementinebank.gateway._request_log import RequestLog
from clementinebank.gateway._settings import (
    GatewayBounds,
    GatewaySettings,
    ResourceLimits,
    load_gateway_settings,
)
from clementinebank.gateway._updater import ControlStateUpdater

__all__ = (
    'Change',
    'ConfigurationWritten',
    'ControlStateUpdater',
    'DecodeEntry',
    'EvacuationBegun',
    'EvacuationEnded',
    'Gateway',
    'GatewayBounds',
    'GatewaySettings',
    'ResourceLimits',
    'LeafRemoved',
    'LeafWritten',
    'RequestLog',
    'load_gateway_settings',
    'run_gateway',
)
