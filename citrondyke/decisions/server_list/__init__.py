"""Which instances read the server list from the store, and how others receive it."""
