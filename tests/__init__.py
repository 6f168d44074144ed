"""Tests that span several packages, shared test builders and the test runner."""
