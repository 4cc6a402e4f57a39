; One of three copies of a board on one machine, for the quick start. On an installation each is on a machine of its own.
(board
  (listen 127.0.0.1:18501)
  (store /tmp/stairvane-copies/a.db)
  (write (tcp 127.0.0.1:18601))
  (copies (self a)
    (copy a (address 127.0.0.1:18601) (machine m-a) (site north))
    (copy b (address 127.0.0.1:18602) (machine m-b) (site south))
    (copy c (address 127.0.0.1:18603) (machine m-c) (site west))))
