package marigoldward.support.program

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val SIGNALS = 50

/** Raises the signal and waits until each has got the thread that handles it: signals with higher numbers come later. */
private fun hangUp(times: Int) {
    val areDispatched = CountDownLatch(1)
    Signal.handle(Signal("USR2")) { areDispatched.countDown() }
    repeat(times) { Signal.raise(Signal("HUP")) }
    Signal.raise(Signal("USR2"))
    check(areDispatched.await(10, TimeUnit.SECONDS)) { "the signals are not dispatched" }
}

private fun handlerThreads(): List<Thread> =
    Thread.getAllStackTraces().keys.filter { it.name.startsWith("SIGHUP") && it.isAlive }

class HangupSignalTest :
    DescribeSpec({
        // A signal that came before the settings were watched ended the process.
        describe("signals") {
            it("that come before there is a subscriber are passed on to it once") {
                HangupSignal.install()
                hangUp(SIGNALS)
                handlerThreads().forEach(Thread::join)
                val calls = AtomicInteger()
                HangupSignal.subscribe { calls.incrementAndGet() }
                calls.get() shouldBe 1
            }
            it("that come while the subscriber is busy are passed on once more, and hold one thread") {
                HangupSignal.install()
                val isBusy = CountDownLatch(1)
                val isReleased = CountDownLatch(1)
                val calls = AtomicInteger()
                HangupSignal.subscribe {
                    calls.incrementAndGet()
                    isBusy.countDown()
                    isReleased.await(10, TimeUnit.SECONDS)
                }
                hangUp(1)
                isBusy.await(10, TimeUnit.SECONDS) shouldBe true
                hangUp(SIGNALS)
                eventually(5.seconds) { handlerThreads().size shouldBeInRange 1..2 }
                isReleased.countDown()
                handlerThreads().forEach(Thread::join)
                calls.get() shouldBe 2
            }
        }
    })
