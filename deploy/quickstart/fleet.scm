(include "kinds.scm")

(origin store (at 127.0.0.1:19300) (site hub) (class origin) (share 40))

; The boxes run already: the board takes the fleet over as it is.
(location west
  (floor 4)
  (sources store)
  (cache c-1 (like small) (running) (at 127.0.0.1:19101))
  (cache c-2 (like small) (running) (at 127.0.0.1:19102))
  (cache c-3 (like small) (running) (at 127.0.0.1:19103)))
