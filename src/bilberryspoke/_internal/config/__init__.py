"""Settings, operator objects and bundles: the validated border."""
