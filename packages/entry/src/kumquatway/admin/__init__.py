"""
kumquatway.admin.

What operators see: the text, the status, drains and events.
"""

from kumquatway.admin._app import AdminContext, admin_app

__all__ = ["AdminContext", "admin_app"]
