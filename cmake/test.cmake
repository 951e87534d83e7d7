# Tests mirror the module tree, one file for each header.
