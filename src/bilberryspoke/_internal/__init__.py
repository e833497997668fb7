"""Implementation of bilberryspoke; nothing here is a stable interface."""
