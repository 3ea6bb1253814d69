"""Generates reference pages from the code."""

from tooling.reference.base import Page
from tooling.reference.commands import CommandPage
from tooling.reference.errors import ErrorPage
from tooling.reference.events import EventPage
from tooling.reference.settings import SettingsPage

__all__ = ["PAGES", "Page"]

PAGES: tuple[Page, ...] = (CommandPage(), SettingsPage(), ErrorPage(), EventPage())
