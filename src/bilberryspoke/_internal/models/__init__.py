"""Data types shared by all other packages."""
