"""Adapter to the operators' platform: the only code that knows its names."""
