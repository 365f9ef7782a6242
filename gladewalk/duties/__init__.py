"""Who does what: each periodic duty has one owner among the live members. Decided here without I/O."""
