"""Decides which waiting task starts next and on which worker. The decisions are pure functions of their inputs; the
control-plane head calls them.
"""
