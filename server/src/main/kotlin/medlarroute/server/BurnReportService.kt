package medlarroute.server

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.AbstractHttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.json.Json
import medlarroute.core.BurnMeter

/** Serves the counts of [meter] as JSON on the operators' port. */
public class BurnReportService(private val meter: BurnMeter) : AbstractHttpService() {
    override fun doGet(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.JSON, Json.encodeToString(meter.snapshot()))

    public companion object {
        /** Path of the report. */
        public const val PATH: String = "/v1/report/burn"
    }
}
