"""Runs two sites under load and failures and checks the results for violations."""
