"""Small helpers without knowledge of the domain."""
