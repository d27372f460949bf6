"""Manifests, approvals, closure checks and the release ledger."""
