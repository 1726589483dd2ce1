"""Requests that end the servers that run them: what names one, what is evidence, what follows."""
