; Boxes of a kind, and figures small enough to watch a change go by.
(rules
  (cold (start 0.5) (warm 1s))
  (cold-hub (warm 1s))
  (drain-settle 1s)
  (told-within 3s)
  (width 2))
(pool depot 127.0.0.0/8)
(template small (class std) (share 4) (pool depot))
