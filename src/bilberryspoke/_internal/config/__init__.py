"""Settings, operator objects and bundles, validated when they are read."""
