"""
kumquatway.admin.

What operators see: the text, the status, drains and events.
"""

from kumquatway.admin._app import admin_app
from kumquatway.admin._context import AdminContext
from kumquatway.admin._status import MemberView, StatusView
from kumquatway.admin._text import AuditView, EditView

__all__ = [
    "AdminContext",
    "AuditView",
    "EditView",
    "MemberView",
    "StatusView",
    "admin_app",
]
