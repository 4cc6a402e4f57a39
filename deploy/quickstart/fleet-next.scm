(include "kinds.scm")

(origin store (at 127.0.0.1:19300) (site hub) (class origin) (share 40))

(location west
  (floor 8)  ; more is asked for before the feast
  (sources store)
  (cache c-1 (like small) (at 127.0.0.1:19101))
  ; c-2 is drained
  (cache c-3 (like small) (at 127.0.0.1:19103))
  (cache c-4 (like small) (at 127.0.0.1:19104))
  (cache c-5 (like small) (at 127.0.0.1:19105)))
