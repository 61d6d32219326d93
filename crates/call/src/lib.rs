//! The call path: caller side, target side, upstream client, at-most-once records, accounts.
