package medlarroute.dispatch

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

/** Registrations in the store follow which instances exist. */
class MemberReturnTest {
    /** Guards against a stopped instance that counts forever, and against counting the removal of a live one. */
    @Test
    fun `the row of a stopped instance is removed and those of the others stay`() {
        LoopbackFleet(listOf("d1"), perDomainOwnersFrom = 16, memberGoneMs = GONE_MS).use { fleet ->
            listOf("a", "b", "c").forEach { fleet.add(it, "d1") }
            fleet.awaitReady()
            val before = fleet.registered()
            fleet.instances.last().stop()
            fleet.await { "c" !in fleet.registered() }
            Thread.sleep(2 * GONE_MS)
            fleet.registered() shouldBe before - "c"
        }
    }

    /** Guards against a live instance that is not counted any more after an owner has removed its row by mistake. */
    @Test
    fun `an instance whose row was removed registers again`() {
        LoopbackFleet(listOf("d1"), perDomainOwnersFrom = 16).use { fleet ->
            listOf("a", "b").forEach { fleet.add(it, "d1") }
            fleet.awaitReady()
            val number = fleet.registered().getValue("b")
            fleet.removeRow("b")
            fleet.await { (fleet.registered()["b"] ?: 0) > number }
        }
    }

    /** Guards against the same if the store's list shows the new row before the store has confirmed it. */
    @Test
    fun `an instance registers again each time that its row is removed`() {
        LoopbackFleet(listOf("d1"), perDomainOwnersFrom = 16).use { fleet ->
            fleet.notifiesFirst = true
            listOf("a", "b").forEach { fleet.add(it, "d1") }
            fleet.awaitReady()
            repeat(2) {
                val number = fleet.registered().getValue("b")
                fleet.removeRow("b")
                fleet.await { (fleet.registered()["b"] ?: 0) > number }
            }
        }
    }

    private companion object {
        const val GONE_MS = 2_000L
    }
}
