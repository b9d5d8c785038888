//! Fault injection for one relay process, loaded through LD_PRELOAD. System calls fail with errors that
//! Linux documents for them. The control file, whose path is in the environment variable `FAULTS_FILE`,
//! selects the calls that fail and how often. It is an array of `SLOTS` 64-bit integers with the indexes
//! below, which the harness changes while the process runs. Values are failures per thousand calls unless a
//! slot documents another unit.
#![allow(clippy::missing_safety_doc)]
use std::ffi::{c_char, c_int, c_long, c_void};
use std::sync::atomic::{AtomicI64, AtomicPtr, AtomicU64, Ordering};

const SLOTS: usize = 24;
/// Reads and writes of TCP sockets are interrupted (EINTR).
const INTERRUPTED_IO: usize = 0;
/// Reads and writes of TCP sockets transfer only one byte.
const SHORT_IO: usize = 1;
/// `connect` fails with a temporary error.
const CONNECT: usize = 2;
/// `socket` fails with a temporary error.
const SOCKET: usize = 3;
/// `accept4` fails with a temporary error.
const ACCEPT: usize = 4;
/// Reads from a backend report a broken connection (ETIMEDOUT, EHOSTUNREACH).
const BROKEN_BACKEND: usize = 5;
/// Reads from a client report a broken connection (ETIMEDOUT, EHOSTUNREACH).
const BROKEN_CLIENT: usize = 6;
/// The wall clock is shifted by the value, in seconds.
const WALL_CLOCK: usize = 7;
/// Syncs of files fail (EIO).
const SYNC: usize = 8;
/// Writes of files fail (ENOSPC).
const FILE_WRITE: usize = 9;
/// Waits for events are interrupted (EINTR).
const INTERRUPTED_WAIT: usize = 10;
/// The calling thread sleeps for 0.15 s before a TCP write.
const STALLED_WRITE: usize = 11;
/// The value is the port at which the relay listens for clients.
const CLIENT_PORT: usize = 12;
/// Number of calls that failed by injection, counted by this library.
const INJECTED: usize = 13;
/// Each sync is delayed by the value, in milliseconds.
const SLOW_SYNC: usize = 14;
/// Writes to clients report success, but their bytes are lost. No real system does this. The fault proves
/// that the oracle detects lost answers.
const LOST_WRITE: usize = 15;
/// The value is a port that `connect` cannot reach (ENETUNREACH), as if there were no route to one machine.
const UNREACHABLE: usize = 16;

const EIO: c_int = 5;
const EINTR: c_int = 4;
const ENFILE: c_int = 23;
const ENOSPC: c_int = 28;
const EADDRNOTAVAIL: c_int = 99;
const ENETUNREACH: c_int = 101;
const ECONNABORTED: c_int = 103;
const ENOBUFS: c_int = 105;
const ETIMEDOUT: c_int = 110;
const EHOSTUNREACH: c_int = 113;
const AF_INET: u16 = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_TYPE: c_int = 3;
const RTLD_NEXT: *mut c_void = -1isize as *mut c_void;
const WRITE_STALL: Timespec = Timespec { seconds: 0, nanoseconds: 150_000_000 };

#[repr(C)]
pub struct Timespec {
    seconds: i64,
    nanoseconds: c_long,
}

#[repr(C)]
struct InetAddress {
    family: u16,
    port: u16,
    rest: [u8; 12],
}

extern "C" {
    fn dlsym(handle: *mut c_void, name: *const c_char) -> *mut c_void;
    fn __errno_location() -> *mut c_int;
    fn getenv(name: *const c_char) -> *const c_char;
    fn open(path: *const c_char, flags: c_int, ...) -> c_int;
    fn mmap(
        at: *mut c_void,
        size: usize,
        protection: c_int,
        flags: c_int,
        fd: c_int,
        offset: i64,
    ) -> *mut c_void;
    fn getsockopt(fd: c_int, level: c_int, name: c_int, value: *mut c_void, size: *mut u32) -> c_int;
    fn getsockname(fd: c_int, address: *mut InetAddress, size: *mut u32) -> c_int;
    fn shutdown(fd: c_int, how: c_int) -> c_int;
    fn nanosleep(time: *const Timespec, left: *mut Timespec) -> c_int;
}

static CONTROL: AtomicPtr<AtomicI64> = AtomicPtr::new(std::ptr::null_mut());
/// State of the random number generator.
static RANDOM_STATE: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);

/// Returns the slots of the control file, which is mapped at the first call.
fn control() -> Option<&'static [AtomicI64]> {
    let mut mapping = CONTROL.load(Ordering::Acquire);
    if mapping.is_null() {
        // SAFETY: all arguments are valid, and the mapping is never removed.
        unsafe {
            let path = getenv(c"FAULTS_FILE".as_ptr());
            if path.is_null() {
                return None;
            }
            const O_RDWR: c_int = 2;
            const PROT_READ: c_int = 1;
            const PROT_WRITE: c_int = 2;
            const MAP_SHARED: c_int = 1;
            let fd = open(path, O_RDWR);
            let protection = PROT_READ | PROT_WRITE;
            let mapped = mmap(std::ptr::null_mut(), SLOTS * 8, protection, MAP_SHARED, fd, 0);
            if mapped as isize == -1 {
                return None;
            }
            mapping = mapped.cast();
        }
        CONTROL.store(mapping, Ordering::Release);
    }
    // SAFETY: the file has that size, and this process accesses the mapping only through atomics.
    Some(unsafe { std::slice::from_raw_parts(mapping, SLOTS) })
}

/// Returns the value of a slot, or 0 without a control file.
fn slot_value(slot: usize) -> i64 {
    control().map_or(0, |slots| slots[slot].load(Ordering::Relaxed))
}

/// Draws whether a call of the kind `slot` fails, and counts the failure. If the call fails, returns random
/// bits, with which the caller chooses an error.
fn draw_failure(slot: usize) -> Option<u64> {
    let per_thousand = slot_value(slot);
    if per_thousand <= 0 {
        return None;
    }
    // SplitMix64: a counter whose values are mixed, so that threads share the state without a lock.
    let mut x = RANDOM_STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 31;
    let fails = (x % 1000) < per_thousand as u64;
    if fails {
        control()?[INJECTED].fetch_add(1, Ordering::Relaxed);
    }
    fails.then_some(x >> 32)
}

/// Sets `errno` and returns the return value of a failed call.
fn fail_with(error: c_int) -> isize {
    // SAFETY: the address is valid for the calling thread.
    unsafe { *__errno_location() = error };
    -1
}

/// Sets `errno` to one of the errors, chosen by `draw`, and returns the return value of a failed call.
fn fail_with_one_of(draw: u64, errors: &[c_int]) -> isize {
    fail_with(errors[(draw % errors.len() as u64) as usize])
}

/// Returns the local port of a TCP socket, or none for other descriptors.
fn tcp_port(fd: c_int) -> Option<u16> {
    let (mut kind, mut size) = (0 as c_int, 4u32);
    let mut address = InetAddress { family: 0, port: 0, rest: [0; 12] };
    // SAFETY: the buffers have the sizes that are passed.
    unsafe {
        let kind_pointer: *mut c_int = &mut kind;
        if getsockopt(fd, SOL_SOCKET, SO_TYPE, kind_pointer.cast(), &mut size) != 0 || kind != SOCK_STREAM {
            return None;
        }
        size = 16;
        if getsockname(fd, &mut address, &mut size) != 0 || address.family != AF_INET {
            return None;
        }
    }
    Some(u16::from_be(address.port))
}

/// Draws the failure of a read: an interruption, or a broken connection, which is also shut down.
fn read_fault(fd: c_int) -> Option<isize> {
    let port = tcp_port(fd)?;
    if draw_failure(INTERRUPTED_IO).is_some() {
        return Some(fail_with(EINTR));
    }
    let slot = if i64::from(port) == slot_value(CLIENT_PORT) { BROKEN_CLIENT } else { BROKEN_BACKEND };
    let draw = draw_failure(slot)?;
    const SHUT_RDWR: c_int = 2;
    // SAFETY: `fd` is a TCP socket of this process, whose connection is to break.
    unsafe { shutdown(fd, SHUT_RDWR) };
    Some(fail_with_one_of(draw, &[ETIMEDOUT, EHOSTUNREACH]))
}

/// Draws the failure of a write, which is an interruption. A stall only delays the write.
fn write_fault(fd: c_int) -> Option<isize> {
    tcp_port(fd)?;
    if draw_failure(STALLED_WRITE).is_some() {
        // SAFETY: the time is valid, and the remaining time is not requested.
        unsafe { nanosleep(&WRITE_STALL, std::ptr::null_mut()) };
    }
    draw_failure(INTERRUPTED_IO).map(|_| fail_with(EINTR))
}

/// Returns the number of bytes that a read or write may transfer.
fn transfer_size(fd: c_int, size: usize) -> usize {
    if size > 1 && slot_value(SHORT_IO) > 0 && tcp_port(fd).is_some() && draw_failure(SHORT_IO).is_some() {
        1
    } else {
        size
    }
}

/// Returns the next definition of a function in the dynamic linker's search order.
macro_rules! next {
    ($name:literal, $kind:ty) => {{
        static DEFINITION: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
        let mut definition = DEFINITION.load(Ordering::Relaxed);
        if definition.is_null() {
            definition = dlsym(RTLD_NEXT, $name.as_ptr());
            DEFINITION.store(definition, Ordering::Relaxed);
        }
        std::mem::transmute::<*mut c_void, $kind>(definition)
    }};
}

type Read = unsafe extern "C" fn(c_int, *mut c_void, usize) -> isize;
type Receive = unsafe extern "C" fn(c_int, *mut c_void, usize, c_int) -> isize;
type Write = unsafe extern "C" fn(c_int, *const c_void, usize) -> isize;
type Send = unsafe extern "C" fn(c_int, *const c_void, usize, c_int) -> isize;
type Vectored = unsafe extern "C" fn(c_int, *const c_void, c_int) -> isize;
type Address = unsafe extern "C" fn(c_int, *const c_void, u32) -> c_int;
type Accept = unsafe extern "C" fn(c_int, *mut c_void, *mut u32, c_int) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Wait = unsafe extern "C" fn(c_int, *mut c_void, c_int, c_int) -> c_int;
type ClockGet = unsafe extern "C" fn(c_int, *mut Timespec) -> c_int;
type Sync = unsafe extern "C" fn(c_int) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, to: *mut c_void, size: usize) -> isize {
    if let Some(fault) = read_fault(fd) {
        return fault;
    }
    next!(c"read", Read)(fd, to, transfer_size(fd, size))
}

#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, size: usize, flags: c_int) -> isize {
    if let Some(fault) = read_fault(fd) {
        return fault;
    }
    next!(c"recv", Receive)(fd, to, transfer_size(fd, size), flags)
}

#[no_mangle]
pub unsafe extern "C" fn readv(fd: c_int, parts: *const c_void, count: c_int) -> isize {
    if let Some(fault) = read_fault(fd) {
        return fault;
    }
    next!(c"readv", Vectored)(fd, parts, count)
}

#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, size: usize) -> isize {
    if let Some(fault) = write_fault(fd) {
        return fault;
    }
    if slot_value(FILE_WRITE) > 0 && fd > 2 && is_file(fd) && draw_failure(FILE_WRITE).is_some() {
        return fail_with(ENOSPC);
    }
    next!(c"write", Write)(fd, from, transfer_size(fd, size))
}

#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, from: *const c_void, size: usize, flags: c_int) -> isize {
    if let Some(fault) = write_fault(fd) {
        return fault;
    }
    if slot_value(LOST_WRITE) > 0
        && tcp_port(fd).map(i64::from) == Some(slot_value(CLIENT_PORT))
        && draw_failure(LOST_WRITE).is_some()
    {
        return size as isize;
    }
    next!(c"send", Send)(fd, from, transfer_size(fd, size), flags)
}

#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const c_void, count: c_int) -> isize {
    if let Some(fault) = write_fault(fd) {
        return fault;
    }
    next!(c"writev", Vectored)(fd, parts, count)
}

#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const c_void, size: u32) -> c_int {
    let inet = !address.is_null() && *address.cast::<u16>() == AF_INET;
    let unreachable = slot_value(UNREACHABLE);
    if inet
        && unreachable > 0
        && i64::from(u16::from_be((*address.cast::<InetAddress>()).port)) == unreachable
    {
        return fail_with(ENETUNREACH) as c_int;
    }
    if let Some(draw) = inet.then(|| draw_failure(CONNECT)).flatten() {
        return fail_with_one_of(draw, &[ENETUNREACH, EADDRNOTAVAIL]) as c_int;
    }
    next!(c"connect", Address)(fd, address, size)
}

#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let inet = domain == c_int::from(AF_INET);
    if let Some(draw) = inet.then(|| draw_failure(SOCKET)).flatten() {
        return fail_with_one_of(draw, &[ENFILE, ENOBUFS]) as c_int;
    }
    next!(c"socket", Socket)(domain, kind, protocol)
}

#[no_mangle]
pub unsafe extern "C" fn accept4(fd: c_int, address: *mut c_void, size: *mut u32, flags: c_int) -> c_int {
    if let Some(draw) = draw_failure(ACCEPT) {
        return fail_with_one_of(draw, &[ECONNABORTED, ENFILE, ENOBUFS, EINTR]) as c_int;
    }
    next!(c"accept4", Accept)(fd, address, size, flags)
}

#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut c_void,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if draw_failure(INTERRUPTED_WAIT).is_some() {
        return fail_with(EINTR) as c_int;
    }
    next!(c"epoll_wait", Wait)(fd, events, max_events, timeout)
}

#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    const REALTIME: c_int = 0;
    let status = next!(c"clock_gettime", ClockGet)(clock, time);
    if status == 0 && clock == REALTIME {
        (*time).seconds += slot_value(WALL_CLOCK);
    }
    status
}

/// Whether a descriptor is a regular file. Sockets and pipes cannot seek, and event descriptors stay at
/// offset 0 after every seek. A file at offset 0 is moved to offset 1 and back to tell it from an event
/// descriptor.
unsafe fn is_file(fd: c_int) -> bool {
    const FROM_START: c_int = 0;
    const FROM_CURRENT: c_int = 1;
    let offset = lseek(fd, 0, FROM_CURRENT);
    offset > 0 || offset == 0 && lseek(fd, 1, FROM_START) == 1 && lseek(fd, 0, FROM_START) == 0
}

extern "C" {
    fn lseek(fd: c_int, offset: i64, from: c_int) -> i64;
}

/// Delays a sync by the value of `SLOW_SYNC`.
unsafe fn delay_sync() {
    let time = slot_value(SLOW_SYNC);
    if time > 0 {
        let time = Timespec { seconds: time / 1000, nanoseconds: time % 1000 * 1_000_000 };
        nanosleep(&time, std::ptr::null_mut());
    }
}

#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    delay_sync();
    if draw_failure(SYNC).is_some() {
        return fail_with(EIO) as c_int;
    }
    next!(c"fsync", Sync)(fd)
}

#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    delay_sync();
    if draw_failure(SYNC).is_some() {
        return fail_with(EIO) as c_int;
    }
    next!(c"fdatasync", Sync)(fd)
}
