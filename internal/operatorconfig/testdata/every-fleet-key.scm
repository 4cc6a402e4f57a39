; Every key of the fleet's files, for the test that each keeps its spelling and its meaning.
(include "every-template-key.scm")
(origin store (at 10.9.0.1:9090) (site north) (class store) (share 40))
(hub h-1 (at 10.8.0.1:9090) (site north) (class hub) (share 20))
(location west
  (pool west-boxes) (floor 8) (load 9) (sources h-1 store)
  (cache c-1 (like small) (at 10.1.0.1:9090) (running))
  (cache c-2 (like small) (at 10.1.0.2:9090) (block 3) (pool west-boxes))
  (cache c-3 (like big) (at [fd00:1::3]:9090)))
