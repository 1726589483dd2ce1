"""Who reads the list of servers from the store, and who hears of it from a neighbour."""
