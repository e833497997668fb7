"""At most once: operation keys bound to the process that issued them."""
