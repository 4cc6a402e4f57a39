package testharness

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ntPRStatus selects the general registers (NT_PRSTATUS).
const ntPRStatus = 1

// callNumber returns the number of the system call at whose entry or exit the thread has stopped.
func callNumber(tid int) (uint64, error) {
	var regs unix.PtraceRegsArm64
	err := unix.PtraceGetRegSetArm64(tid, ntPRStatus, &regs)
	return regs.Regs[8], err
}

// setCallResult sets the result of the system call at whose exit the thread has stopped.
func setCallResult(tid int, result uint64) error {
	var regs unix.PtraceRegsArm64
	if err := unix.PtraceGetRegSetArm64(tid, ntPRStatus, &regs); err != nil {
		return err
	}
	regs.Regs[0] = result
	return unix.PtraceSetRegSetArm64(tid, ntPRStatus, &regs)
}

// cancelCall replaces the system call at whose entry the thread has stopped with an invalid one. The kernel keeps the number in a register
// set of its own: a change of x8 would come too late.
func cancelCall(tid int) error {
	number := int32(-1) // not a valid system call
	iov := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number))}
	iov.SetLen(int(unsafe.Sizeof(number)))
	_, _, errno := syscall.Syscall6(syscall.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(tid), unix.NT_ARM_SYSTEM_CALL,
		uintptr(unsafe.Pointer(&iov)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}
