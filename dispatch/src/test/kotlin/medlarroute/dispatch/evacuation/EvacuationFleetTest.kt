package medlarroute.dispatch.evacuation

import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import medlarroute.dispatch.JobId
import medlarroute.dispatch.JobRequest
import medlarroute.dispatch.JobResult
import medlarroute.dispatch.LoopbackFleet
import medlarroute.dispatch.QueueId
import medlarroute.dispatch.Resources
import medlarroute.dispatch.StepRequest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.util.concurrent.TimeUnit

/** Evacuations with connected instances, an owner per failure domain. */
class EvacuationFleetTest {
    private val fleet = LoopbackFleet(listOf("d1", "d2"), perDomainOwnersFrom = 1)

    @AfterEach
    fun close() = fleet.close()

    private fun job(id: String) = JobRequest(JobId(id), QueueId("q"), "p", listOf(StepRequest(1, Resources(1_000), 50)))

    /** Guards against callers of the failure domain that are refused. */
    @Test
    fun `callers of an evacuated failure domain are served by the other owner until it returns`() {
        val first = fleet.add("i1", "d1")
        fleet.add("i2", "d2")
        fleet.awaitReady()
        fleet.awaitOwnerPerDomain()
        first.submit(job("before"))
        fleet.await { fleet.isRunningIn("d1", JobId("before")) }
        fleet.evacuate("d1")
        fleet.await { fleet.instances.all { it.evacuatedDomains == 1 } }
        first.submit(job("during"))
        fleet.await { fleet.isRunningIn("d2", JobId("during")) }
        fleet.starts(JobId("before")) shouldBe 1
        fleet.evacuate()
        fleet.await { fleet.instances.all { it.evacuatedDomains == 0 } }
        first.submit(job("after"))
        fleet.await { fleet.isRunningIn("d1", JobId("after")) }
    }

    /** Guards against an instance without the store that goes on to start tasks there, or never starts any again. */
    @Test
    fun `begin and end reach an instance without the store through its peers`() {
        fleet.add("i1", "d1")
        fleet.add("i2", "d2")
        fleet.awaitReady()
        fleet.withoutEvacuated += "i2"
        fleet.evacuate("d1")
        fleet.await { fleet.instances.all { it.evacuatedDomains == 1 } }
        fleet.evacuate()
        fleet.await { fleet.instances.all { it.evacuatedDomains == 0 } }
    }

    /** Guards against a restarted owner that starts tasks in an evacuated failure domain until it has learned of it. */
    @Test
    fun `an instance without a set is not ready until a peer has sent it one`() {
        fleet.withoutEvacuated += "i1"
        val first = fleet.add("i1", "d1")
        Thread.sleep(SEVERAL_LEASES_MS)
        first.isReady shouldBe false
        fleet.evacuate("d1")
        fleet.add("i2", "d2")
        fleet.awaitReady()
        first.evacuatedDomains shouldBe 1
    }

    /** Guards against the same where nothing is evacuated, so that no heartbeat tells of a set. */
    @Test
    fun `an instance without a set gets the empty set from a peer`() {
        fleet.withoutEvacuated += "i1"
        fleet.add("i1", "d1")
        fleet.add("i2", "d2")
        fleet.awaitReady()
    }

    /** Guards against callers that wait until their deadline, and instances that are taken from the load balancer. */
    @Test
    fun `if all failure domains are evacuated jobs are refused with a retry time and instances stay ready`() {
        val first = fleet.add("i1", "d1")
        fleet.add("i2", "d2")
        fleet.awaitReady()
        fleet.evacuate("d1", "d2")
        fleet.await { fleet.instances.all { it.evacuatedDomains == 2 } }
        val refusal = first.submit(job("j")).get(REFUSAL_MS, TimeUnit.MILLISECONDS)
        refusal.shouldBeInstanceOf<JobResult.NotRun>().retryAfterMs.shouldNotBeNull()
        fleet.instances.all { it.isReady } shouldBe true
    }

    private companion object {
        /** Well below the caller's timeout of 10 s, on a busy machine. */
        const val REFUSAL_MS = 2_000L

        /** The longest lease is 1,000 ms. */
        const val SEVERAL_LEASES_MS = 2_500L
    }
}
