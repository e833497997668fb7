"""Data classes shared by all other packages."""
