"""Manifests, approvals, reference checks and the release ledger."""
