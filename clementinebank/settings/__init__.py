"""Settings of one instance."""

from clementinebank.settings._instance import InstanceSettings, load_settings

__all__ = ('InstanceSettings', 'load_settings')
