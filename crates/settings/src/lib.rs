//! INI reading with line numbers into generated structs, with findings.
