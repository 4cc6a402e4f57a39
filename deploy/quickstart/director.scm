; A director that follows three copies of a board: its configuration's address first, then these.
(director (bulletins 127.0.0.1:18502 127.0.0.1:18503))
