"""Other instances: who they are and what is told between them."""
