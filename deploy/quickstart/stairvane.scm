(board
  (listen 127.0.0.1:18500)
  (store /tmp/stairvane-quickstart/board.db)
  (write (unix /tmp/stairvane-quickstart/board.sock))
  (observer (every 200ms) (misses 3)))
