package testharness

import "golang.org/x/sys/unix"

// callNumber returns the number of the system call at whose entry or exit the thread has stopped.
func callNumber(tid int) (uint64, error) {
	var regs unix.PtraceRegs
	err := unix.PtraceGetRegs(tid, &regs)
	return regs.Orig_rax, err
}

// setCallResult sets the result of the system call at whose exit the thread has stopped.
func setCallResult(tid int, result uint64) error {
	var regs unix.PtraceRegs
	if err := unix.PtraceGetRegs(tid, &regs); err != nil {
		return err
	}
	regs.Rax = result
	return unix.PtraceSetRegs(tid, &regs)
}

// cancelCall replaces the system call at whose entry the thread has stopped with an invalid one.
func cancelCall(tid int) error {
	var regs unix.PtraceRegs
	if err := unix.PtraceGetRegs(tid, &regs); err != nil {
		return err
	}
	regs.Orig_rax = ^uint64(0) // not a valid system call
	return unix.PtraceSetRegs(tid, &regs)
}
