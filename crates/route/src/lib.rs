//! Decisions of the call path: route match, target choice, admission, retry budget.
