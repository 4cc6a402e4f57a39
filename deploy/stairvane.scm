; What the program is to be on an installation that keeps its own fleet. The platform starts directors alone and reads
; nothing of this file.
; A director on more than one core: stairvane director FILE. The platform gives one.
; (director (cores 4) (divide connection))
(board
  (listen 127.0.0.1:8500)  ; directors follow the bulletin here
  (followers 127.0.0.0/8 ::1/128)
  (store board.db)  ; relative paths are in this file's folder
  (write (unix board.sock))  ; or (tcp ADDRESS), beyond loopback with (tls (certificate F) (key F) (clients F))
  ; (observer (every 1s) (timeout 250ms) (misses 3))
  (snapshot-every 10000)
  (keep 10000)
  (batch 256))
